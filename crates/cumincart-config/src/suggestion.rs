//! Suggestions for misspelled names.

/// The greatest edit distance at which a known name is suggested for a wrong one.
const NEAREST_MAX_EDITS: usize = 2;

/// Returns the known name that is nearest to a wrong one, if one is near enough.
pub fn nearest<'n>(wrong: &str, known: impl Iterator<Item = &'n str>) -> Option<&'n str> {
    let distances = known.map(|name| (strsim::damerau_levenshtein(wrong, name), name));
    let near = distances.filter(|(distance, _)| *distance <= NEAREST_MAX_EDITS);
    near.min_by_key(|(distance, _)| *distance).map(|(_, name)| name)
}
