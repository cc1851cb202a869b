//! Malformed and malicious documents are refused without a panic.

use jackdawchute_configuration::{Call, Configuration, Reply};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 11;
/// The upper bound of the generated text's length and of the number of edits.
const SIZE: usize = 300;
const TESTS: u64 = 200;

fn seeded_check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(TESTS)
}

fn embedded_yaml() -> String {
    let embedded = Configuration::embedded().expect("the embedded document passes its checks");
    embedded.to_yaml().expect("every value has a YAML form")
}

#[test]
fn any_text_is_parsed_or_refused_without_a_panic() {
    fn parses_without_panic(text: String) -> bool {
        let _ = Configuration::parse(&text);
        let _ = serde_json::from_str::<Call>(&text);
        let _ = serde_json::from_str::<Reply>(&text);
        true
    }

    seeded_check().quickcheck(parses_without_panic as fn(String) -> bool);
}

/// A damaged document must not be accepted as a configuration that changes when it is written and
/// parsed again.
#[test]
fn a_damaged_document_is_refused_or_survives_a_round_trip() {
    fn is_refused_or_unchanged(edits: Vec<(u16, char)>) -> bool {
        let mut text: Vec<char> = embedded_yaml().chars().collect();
        for (position, character) in edits.into_iter().take(4) {
            let position = usize::from(position) % text.len();
            text[position] = character;
        }
        let text: String = text.into_iter().collect();

        match Configuration::parse(&text) {
            Ok(parsed) => {
                let again = parsed
                    .to_yaml()
                    .and_then(|yaml| Configuration::parse(&yaml));
                again == Ok(parsed)
            }
            Err(_) => true,
        }
    }

    seeded_check().quickcheck(is_refused_or_unchanged as fn(Vec<(u16, char)>) -> bool);
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
