//! The fixed SQL by which an endpoint is asked about itself.
//!
//! Real PostgreSQL (13 and later) runs these texts as they stand, also for a user without special rights; a stand-in
//! recognises them by their text.

/// Asks for the endpoint's state; may run inside a read-only transaction and on a replica.
///
/// One row: `in_recovery` (bool), `timeline` (int8), `position` (int8, bytes of the write-ahead log) and `lag_ms`
/// (int8). On a primary the position is where the next record goes, so that every committed write lies before it. The
/// timeline is read from the log's file name, since the control file follows a promotion only at the next checkpoint.
/// The lag is counted from the last message of the primary that told of nothing newer than what is applied; where that
/// is not known it is counted from the last applied transaction, which is never too small.
pub const STATE_SQL: &str = "\
SELECT r.in_recovery, \
CASE WHEN r.in_recovery \
THEN coalesce(w.received_tli, (SELECT timeline_id FROM pg_control_checkpoint()))::bigint \
ELSE ('x' || substr(pg_walfile_name(pg_current_wal_insert_lsn()), 1, 8))::bit(32)::bigint END AS timeline, \
CASE WHEN r.in_recovery \
THEN (pg_last_wal_replay_lsn() - '0/0'::pg_lsn)::bigint \
ELSE (pg_current_wal_insert_lsn() - '0/0'::pg_lsn)::bigint END AS position, \
CASE WHEN r.in_recovery \
THEN greatest(0, coalesce(extract(epoch FROM clock_timestamp() - CASE \
WHEN pg_last_wal_replay_lsn() >= w.latest_end_lsn THEN w.last_msg_send_time \
ELSE pg_last_xact_replay_timestamp() END) * 1000, 31536000000))::bigint \
ELSE 0::bigint END AS lag_ms \
FROM (SELECT pg_is_in_recovery() AS in_recovery) r LEFT JOIN pg_stat_wal_receiver w ON true";

/// Promotes a replica and waits until it accepts writes.
///
/// One row: `pg_promote` (bool), false when it did not finish within the seconds that stand in it.
pub const PROMOTE_SQL: &str = "SELECT pg_promote(true, 4)";

/// Asks a promoted endpoint where its timeline began.
///
/// One row: `in_recovery` (bool), `timeline` (int8) and `start` (int8). The position that recovery ended at stays known
/// until the server restarts; without it the current position is given.
pub const TIMELINE_START_SQL: &str = "\
SELECT r.in_recovery, \
CASE WHEN r.in_recovery THEN 0::bigint \
ELSE ('x' || substr(pg_walfile_name(pg_current_wal_insert_lsn()), 1, 8))::bit(32)::bigint END AS timeline, \
CASE WHEN r.in_recovery THEN 0::bigint \
ELSE (coalesce(pg_last_wal_replay_lsn(), pg_current_wal_insert_lsn()) - '0/0'::pg_lsn)::bigint END AS start \
FROM (SELECT pg_is_in_recovery() AS in_recovery) r";
