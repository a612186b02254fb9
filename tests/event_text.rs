//! Guards against errors in the fast paths for tokens that need no JSON escapes.

use pomelolink::caller::event::Encoder;
use pomelolink::endpoint::sse;
use pomelolink::stream::journal::Part;

/// Guards against tokens that produce invalid JSON, or that change between the encoder and the
/// splitter, at any size of the received pieces.
#[test]
fn tokens_survive_any_cut() {
    let tokens =
        ["plain", " with space", "\"quoted\"", "back\\slash", "\n\n", "\u{1}\t", "pålæg 🍕"];
    let part =
        Part { tokens: tokens.map(|token| token.into()).to_vec(), finish: None, moved: false };
    let bytes = Encoder::new("node~1-1".into(), "chat \"x\"".into()).encode(7, &part);
    // Engines send no `id` lines, so the splitter does not expect them.
    let lines = std::str::from_utf8(&bytes).unwrap().lines();
    let text: Vec<&str> = lines.filter(|line| !line.starts_with("id: ")).collect();
    let text = text.join("\n") + "\n";
    assert!(std::str::from_utf8(&bytes).unwrap().contains("id: node~1-1.13\n"));
    for size in 1..text.len() {
        let mut splitter = sse::Splitter::default();
        let mut decoded = Vec::new();
        for piece in text.as_bytes().chunks(size) {
            splitter.push(piece).unwrap();
            while let Some(event) = splitter.next_event() {
                let chunk = sse::parse(event).unwrap();
                assert_eq!(chunk.id, "node~1-1");
                decoded.push(chunk.content.unwrap().into_owned());
            }
        }
        assert_eq!(decoded, tokens, "pieces of {size} bytes");
    }
}
