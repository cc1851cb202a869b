//! Hostile input is refused without a panic.

use jackdawchute_configuration::{Call, Configuration, Reply};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 11;
const SIZE: usize = 300;
const TESTS: u64 = 200;

fn check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(TESTS)
}

fn embedded_yaml() -> String {
    let embedded = Configuration::embedded().expect("the embedded configuration is valid");
    embedded.to_yaml().expect("it can be written")
}

#[test]
fn any_text_is_read_or_refused() {
    fn holds(text: String) -> bool {
        let _ = Configuration::parse(&text);
        let _ = serde_json::from_str::<Call>(&text);
        let _ = serde_json::from_str::<Reply>(&text);
        true
    }

    check().quickcheck(holds as fn(String) -> bool);
}

/// What is accepted is written and read back as the same.
#[test]
fn a_damaged_document_is_refused_or_reads_back() {
    fn holds(edits: Vec<(u16, char)>) -> bool {
        let mut text: Vec<char> = embedded_yaml().chars().collect();
        for (place, character) in edits.into_iter().take(4) {
            let place = usize::from(place) % text.len();
            text[place] = character;
        }
        let text: String = text.into_iter().collect();

        match Configuration::parse(&text) {
            Ok(read) => {
                let again = read.to_yaml().and_then(|yaml| Configuration::parse(&yaml));
                again == Ok(read)
            }
            Err(_) => true,
        }
    }

    check().quickcheck(holds as fn(Vec<(u16, char)>) -> bool);
}

#[test]
fn an_alias_bomb_and_deep_nesting_are_refused() {
    let mut bomb = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x]\n");
    for level in 1..30 {
        let below = level - 1;
        let aliases = vec![format!("*a{below}"); 9].join(", ");
        bomb.push_str(&format!("a{level}: &a{level} [{aliases}]\n"));
    }
    let deep = format!("routes: {}", "[".repeat(100_000));

    let bomb = Configuration::parse(&bomb);
    let deep = Configuration::parse(&deep);

    assert!(bomb.is_err());
    assert!(deep.is_err());
}
