#!/usr/bin/env bash
# A short soak for CI: the seeds that ever failed. Verdicts are what callers and backend servers saw, with wide limits in time.
set -eu
cd "$(dirname "$0")/../.."
scripts/soak
