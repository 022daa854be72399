# Functions to start and stop a deployment that make-deployment has written. Sourced by scripts.
declare -A node_pid=()
all_pids=()
platform=""

start_process() { # LOG COMMAND...
  local out="$1"; shift
  "$@" >>"$out" 2>&1 &
  last_pid=$!
  all_pids+=("$last_pid")
}

control() { curl -s -o /dev/null --max-time 5 -X POST "http://$1/control?$2"; }

wait_until() { # SECONDS COMMAND...
  local tries=$(($1 * 20)); shift
  for _ in $(seq "$tries"); do "$@" && return 0; sleep 0.05; done
  echo "gave up waiting for: $*" >&2
  return 1
}

answers() { curl -s -o /dev/null --max-time 1 "http://$1"; }
serves() { curl -sf -o /dev/null --max-time 1 "http://$1/health"; }

start_deployment() { # FOLDER
  local folder="$1" kind a b c d e
  while read -r kind a b c d e; do
    case "$kind" in
      platform)
        platform="$a"
        start_process "$folder/platform.log" build/test/standin-platform "$a"
        wait_until 10 answers "$a/stats" ;;
      backend) start_process "$folder/backend.log" build/test/standin-backend "$b" "$c" "$d" "$e" ;;
      host)
        curl -s -o /dev/null -X PUT --data "$b $c $d live" "http://$platform/hosts/$a" ;;
    esac
  done <"$folder/processes"
  deployment="$folder"
  local first=""
  while read -r kind a b c; do
    [ "$kind" = node ] || continue
    start_node "$a"
    first="${first:-$b}"
  done <"$folder/processes"
  wait_until 10 answers "$first/health"
  export ROBINRUN_SERVER="$first" ROBINRUN_TOKEN=demo-operator
  build/robinrunctl apply -f "$folder/resources.yaml" >"$folder/apply.log"
  while read -r kind a b c; do
    [ "$kind" = node ] && wait_until 20 serves "$b"
  done <"$folder/processes"
  return 0
}

start_node() { # NAME
  start_process "$deployment/node-$1.log" build/robinrun-node --settings "$deployment/node-$1.yaml"
  node_pid[$1]=$last_pid
}

nth_name() { awk -v n="$1" '$1 == "backend" && ++i == n { print $2 }' "$deployment/processes"; }
nth_backend() { awk -v n="$1" '$1 == "backend" && ++i == n { print $3 }' "$deployment/processes"; }
signal_node() { kill "-$2" "${node_pid[$1]}"; }
kill_node() { kill -KILL "${node_pid[$1]}"; }

stop_deployment() {
  local pid
  for pid in "${all_pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 40); do
    local alive=0
    for pid in "${all_pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for pid in "${all_pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
