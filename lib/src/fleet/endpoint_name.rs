//! Names of endpoints.

/// Reason why a text names no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointNameError {
    /// It has neither a letter nor a digit.
    #[error("the name has neither a letter nor a digit")]
    NoLetterOrDigit,
    /// It has a character that no name has.
    #[error("the name has the character {0:?}")]
    InvalidCharacter(char),
}

/// Checks that `name` can name an endpoint: it consists of ASCII letters, digits, `-`, `.`, `_`,
/// `~`, `:` and `@`, and has a letter or a digit.
///
/// These stand for themselves in URLs, headers, logs and metrics, so that an endpoint has the same
/// name in all of them.
pub fn check_endpoint_name(name: &str) -> Result<(), EndpointNameError> {
    let is_valid = |character: char| {
        character.is_ascii_alphanumeric() || matches!(character, '-' | '.' | '_' | '~' | ':' | '@')
    };
    if let Some(character) = name.chars().find(|character| !is_valid(*character)) {
        return Err(EndpointNameError::InvalidCharacter(character));
    }
    if !name.contains(|character: char| character.is_ascii_alphanumeric()) {
        return Err(EndpointNameError::NoLetterOrDigit);
    }
    Ok(())
}
