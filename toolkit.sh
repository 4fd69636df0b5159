#!/usr/bin/env bash
# The developers' toolkit: runs the same checks as CI, all or one at a time.
#
#   ./toolkit.sh all       formatter, linter, docs, tests
#   ./toolkit.sh fmt       check the formatting
#   ./toolkit.sh lint      clippy, warnings denied
#   ./toolkit.sh docs      build the docs, warnings denied
#   ./toolkit.sh test      the README's test command, with KNOWN-RED.txt taken into account
set -euo pipefail
cd "$(dirname "$0")"

check_fmt() {
    cargo fmt --all --check
}

check_lint() {
    cargo clippy --workspace --all-targets --quiet -- -D warnings
}

check_docs() {
    RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --quiet
}

# Prints "<test binary> <test name>" for every test that failed in the log.
failed_tests() {
    awk '
        /^ +Running / { binary = $0; sub(/.*\/deps\//, "", binary); sub(/-[0-9a-f]+\)$/, "", binary) }
        /^ +Doc-tests / { binary = "doc-" $2 }
        /^test .* \.\.\. FAILED$/ { name = $0; sub(/^test /, "", name); sub(/ \.\.\. FAILED$/, "", name); print binary, name }
    ' "$1" | sort -u
}

known_red() {
    [ -f KNOWN-RED.txt ] || return 0
    sed -n 's/^test: *//p' KNOWN-RED.txt | sort -u
}

check_test() {
    local log status=0
    log=$(mktemp)
    cargo test --workspace --no-fail-fast 2>&1 | tee "$log" || status=$?
    if [ "$status" -eq 0 ]; then
        rm -f "$log"
        return 0
    fi
    local failed unknown
    failed=$(failed_tests "$log")
    unknown=$(comm -23 <(printf '%s\n' "$failed") <(known_red))
    rm -f "$log"
    if [ -z "$failed" ] || [ -n "$unknown" ]; then
        printf 'failed, and not in KNOWN-RED.txt:\n%s\n' "${unknown:-the build itself}"
        return 1
    fi
    printf 'failed, as KNOWN-RED.txt says:\n%s\n' "$failed"
}

case "${1:-all}" in
    fmt) check_fmt ;;
    lint) check_lint ;;
    docs) check_docs ;;
    test) check_test ;;
    all)
        check_fmt
        check_lint
        check_docs
        check_test
        ;;
    *)
        sed -n '2,8p' "$0"
        exit 2
        ;;
esac
