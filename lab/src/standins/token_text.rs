//! The words that stand-in engines say.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Words of which answers are made.
const WORDS: [&str; 16] = [
    "cacao", "lote", "patio", "secado", "humedad", "sol", "granos", "moho", "bolsa", "balanza",
    "recibo", "monedas", "cuenta", "tontine", "marché", "jigéen",
];

/// Returns token `index` of the answer to `prompt`; the same everywhere, so
/// that a caller can tell whether an answer is whole and its own.
pub fn token_text(prompt: &str, index: u64) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index);
    format!(" {}{}", WORDS[(hash % 16) as usize], hash >> 52)
}
