//! Tests that all problems are reported at once and that hostile input neither panics nor takes
//! long.

use std::time::{Duration, Instant};

use jackdawchute_yaml::{parse, parse_first, Problem};
use quickcheck::{Gen, QuickCheck};
use serde::Deserialize;

const SEED: u64 = 5;
const SIZE: usize = 200;
const TESTS: u64 = 2_000;
/// Far above the time of linear parsing in a debug build, far below that of quadratic parsing.
const PARSE_TIME_MAX: Duration = Duration::from_secs(20);

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Document {
    name: String,
    size: Size,
    points: Vec<Size>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Size {
    width: u32,
    height: u32,
}

fn lines_and_fields(problems: &[Problem]) -> Vec<(Option<usize>, &str)> {
    problems
        .iter()
        .map(|problem| (problem.line, problem.field.as_str()))
        .collect()
}

#[test]
fn each_invalid_field_is_reported_and_the_rest_is_parsed() {
    let text = "\
name: plot
size:
  width: wide
  heigth: 3
points:
  - width: -5
    height: 1
  - depth: 4
    height: tall
colour:
  red: 1
";

    let (document, problems) = parse::<Document>(text);

    let expected = [
        (Some(3), "size.width"),
        (Some(4), "size"),
        (Some(6), "points[0].width"),
        (Some(8), "points[1]"),
        (Some(9), "points[1].height"),
        (Some(10), ""),
    ];
    assert_eq!(lines_and_fields(&problems), expected, "{problems:?}");
    let document = document.expect("the rest can be parsed");
    assert_eq!(document.name, "plot");
    assert_eq!(document.points[0].height, 1);
    assert_eq!(document.size.height, 0);
}

#[test]
fn a_syntax_error_has_its_line_and_a_duplicate_key_is_reported() {
    let (_, syntax) = parse::<Document>("name: a\nsize: [\n");
    let (_, twice) = parse::<Document>("name: a\nname: b\n");

    assert_eq!(syntax[0].line, Some(3), "{syntax:?}");
    assert!(twice[0].problem.contains("duplicate"), "{twice:?}");
}

#[test]
fn any_text_gives_a_value_or_a_problem() {
    fn gives_value_or_problem(text: String) -> bool {
        let (document, problems) = parse::<Document>(&text);
        document.is_some() || !problems.is_empty()
    }
    let check = QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED));

    check
        .tests(TESTS)
        .quickcheck(gives_value_or_problem as fn(String) -> bool);
}

/// Random texts made of tokens that have a meaning in YAML reach deeper into the parser.
#[test]
fn any_yaml_tokens_give_a_value_or_a_problem() {
    const PIECES: [&str; 16] = [
        "name", "size", "points", "width", ": ", "- ", "\n", "  ", "[", "}", "1", "-", "&a ", "*a",
        "\"", "#",
    ];
    fn gives_value_or_problem(choices: Vec<u8>) -> bool {
        let pieces = choices
            .iter()
            .map(|choice| PIECES[usize::from(*choice) % PIECES.len()]);
        let (document, problems) = parse::<Document>(&pieces.collect::<String>());
        document.is_some() || !problems.is_empty()
    }
    let check = QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, SEED));

    check
        .tests(TESTS)
        .quickcheck(gives_value_or_problem as fn(Vec<u8>) -> bool);
}

#[test]
fn costly_documents_are_refused_in_bounded_time() {
    const REPEATS: usize = 100_000;
    let aliases = (1..30).map(|level| {
        let below = vec![format!("*a{}", level - 1); 9].join(", ");
        format!("a{level}: &a{level} [{below}]\n")
    });
    let documents = [
        "[".repeat(REPEATS),
        "{a: ".repeat(REPEATS),
        "[a, ".repeat(REPEATS),
        "- ".repeat(REPEATS),
        "? ".repeat(REPEATS),
        format!(
            "a0: &a0 [x, x, x, x, x, x, x, x, x]\n{}",
            aliases.collect::<String>()
        ),
        (0..REPEATS / 2)
            .map(|line| format!("key{line}: 1\n"))
            .collect(),
    ];

    let start = Instant::now();
    let refused = documents
        .iter()
        .filter(|text| !parse::<Document>(text).1.is_empty());
    let refused = refused.count();

    let refused_first = documents
        .iter()
        .filter(|text| parse_first::<Document>(text).is_err());
    let refused_first = refused_first.count();

    assert_eq!(refused, documents.len());
    assert_eq!(refused_first, documents.len());
    assert!(start.elapsed() < PARSE_TIME_MAX, "{:?}", start.elapsed());
}
