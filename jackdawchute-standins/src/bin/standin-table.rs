//! The transactional table service as a program.

use jackdawchute_standins::{
    program::{announce, wait_for_end_signal, ProgramOption, ProgramOptions},
    table::{control_routes, spawn_table, ClientId},
    Result,
};
use jackdawchute_trial::Listening;

const OPTIONS: &[ProgramOption] = &[
    ProgramOption {
        name: "client",
        help: "name of a client, which gets its own listener; may be repeated",
        default: None,
    },
    ProgramOption {
        name: "control",
        help: "address of the listener that sets faults",
        default: Some("127.0.0.1:0"),
    },
];

#[tokio::main]
async fn main() -> Result<()> {
    let Some(options) = ProgramOptions::parse(OPTIONS)? else {
        return Ok(());
    };
    let clients: Vec<ClientId> = options
        .all("client")
        .into_iter()
        .map(ClientId::from)
        .collect();
    let table = spawn_table(&clients).await?;
    let control = options.get("control")?;
    let control = Listening::bind(control, control_routes(table.task.clone())).await?;
    let mut addresses = vec![("control", control.address())];
    for client in &clients {
        addresses.extend(
            table
                .address(client)
                .map(|address| (client.as_str(), address)),
        );
    }
    announce(&addresses);
    wait_for_end_signal().await
}
