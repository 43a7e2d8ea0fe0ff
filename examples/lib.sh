# Shared by the scripts beside it: sourced, not run.

# Make $ports, a list of $1 free ports of loopback, each to be used once.
pick_ports() {
    ports=$(python -c '
import socket
import sys
held = [socket.socket() for _ in range(int(sys.argv[1]))]
for one in held:
    one.bind(("127.0.0.1", 0))
print(*(one.getsockname()[1] for one in held))
' "$1")
}

# Set $port to the next of $ports.
next_port() {
    port=${ports%% *}
    ports=${ports#* }
}

# End the processes whose ids are given, and wait for them.
end_processes() {
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "$@"; do wait "$pid" 2>/dev/null || true; done
}

# Call the function "stop" on exit and on an interrupt.
stop_on_exit() {
    trap stop EXIT
    trap 'exit 130' INT
    trap 'exit 143' TERM
}
