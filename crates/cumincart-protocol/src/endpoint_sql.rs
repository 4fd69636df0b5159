//! The fixed SQL statements that query and promote an endpoint.
//!
//! PostgreSQL 13 and later runs these statements unchanged, also for a user without special privileges. A stand-in
//! recognises them by their text.

/// Queries the endpoint's state. May run inside a read-only transaction and on a replica.
///
/// Returns one row: `in_recovery` (bool), `timeline` (int8), `position` (int8, bytes of the write-ahead log) and
/// `lag_ms` (int8). On a primary, the position is the insert location of the next record, so that every committed write
/// lies before it. The timeline is taken from the name of the WAL file, because after a promotion the control file
/// changes only at the next checkpoint. The lag is measured from the last message of the primary that reported nothing
/// newer than what is applied. If that is not known, it is measured from the last applied transaction, which never
/// underestimates the lag.
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
/// Returns one row: `pg_promote` (bool), false if the promotion did not finish within the number of seconds in the
/// call.
pub const PROMOTE_SQL: &str = "SELECT pg_promote(true, 4)";

/// Queries the position at which the timeline of a promoted endpoint began.
///
/// Returns one row: `in_recovery` (bool), `timeline` (int8) and `start` (int8). The position at which recovery ended is
/// available until the server restarts. After a restart, the current position is returned instead.
pub const TIMELINE_START_SQL: &str = "\
SELECT r.in_recovery, \
CASE WHEN r.in_recovery THEN 0::bigint \
ELSE ('x' || substr(pg_walfile_name(pg_current_wal_insert_lsn()), 1, 8))::bit(32)::bigint END AS timeline, \
CASE WHEN r.in_recovery THEN 0::bigint \
ELSE (coalesce(pg_last_wal_replay_lsn(), pg_current_wal_insert_lsn()) - '0/0'::pg_lsn)::bigint END AS start \
FROM (SELECT pg_is_in_recovery() AS in_recovery) r";
