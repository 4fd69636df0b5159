//! What may have been meant by a wrong name.

/// The greatest edit distance at which a name is offered in place of a wrong one.
const NEAREST_MAX_EDITS: usize = 2;

/// The known name that is nearest to a wrong one, where one is near enough.
pub fn nearest<'n>(wrong: &str, known: impl Iterator<Item = &'n str>) -> Option<&'n str> {
    let distances = known.map(|name| (strsim::damerau_levenshtein(wrong, name), name));
    let near = distances.filter(|(distance, _)| *distance <= NEAREST_MAX_EDITS);
    near.min_by_key(|(distance, _)| *distance).map(|(_, name)| name)
}
