//! Errors of appends and handovers.

use jackdawchute_types::GroupId;
use quick_error::quick_error;

/// The result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why entries were not journaled: none of them is in the journal, nor ever will be.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// This incarnation does not own the group, or is releasing it.
        NotOwner(group: GroupId) {
            display("append to journal: group {} has another owner", group)
        }
        /// The named successor fenced this incarnation.
        Fenced(successor: String) {
            display("append to journal: fenced by {}", successor)
        }
        /// The table service cannot be reached and nothing was written.
        Unavailable(cause: String) {
            display("append to journal: {}", cause)
        }
    }
}
