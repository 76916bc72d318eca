#!/usr/bin/env bash
# Fails if names of the platform's wire stand outside platform/, tests and stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Prompt-Prefix|Token-Count|Expect-Instance|Not-Executed|Response-Seal|Deadline-Ms|Request-Urgency|Server-Load|Server-Leaving|Server-Limit|Server-Brittle|Tenant|fenceToken|storeRevision|pathPrefix|model_load'
found=$(grep -rnE "\"($names)\"" --include='*.go' cmd internal | grep -vE '_test\.go:|internal/standin/' || true)
if [ -n "$found" ]; then
  echo "names of the platform's wire belong into platform/:"
  echo "$found"
  exit 1
fi
