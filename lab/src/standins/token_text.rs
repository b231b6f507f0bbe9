//! Deterministic text that stand-in engines generate.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Vocabulary of the generated text.
const WORDS: [&str; 16] = [
    "cacao", "lote", "patio", "secado", "humedad", "sol", "granos", "moho", "bolsa", "balanza",
    "recibo", "monedas", "cuenta", "tontine", "marché", "jigéen",
];

/// Returns token `index` of the completion of `prompt`.
///
/// It depends on its arguments alone, so that a caller can check that an answer is
/// complete and belongs to its own prompt.
pub fn token_text(prompt: &str, index: u64) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), index);
    format!(" {}{}", WORDS[(hash % 16) as usize], hash >> 52)
}
