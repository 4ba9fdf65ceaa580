#!/usr/bin/env bash
# Guards against crashes, hangs and unclear errors on malformed input from
# callers and from peers.
set -uo pipefail
BUILD=$1
. tests/process/lib.bash
fleet 1 1 'max_body_bytes = 1000000'
T=$(token e1)
# expect STATUS CODE BODY-FILE: submits a body and checks the status and the code
# of the refusal.
expect() {
  local A
  A=$(submit e1 "$3")
  case $A in
  "$1 "*"\"code\":\"$2\""*) ;;
  *) fail "expected $1 $2, got: $A" ;;
  esac
}
echo '{"token":' >"$WORK/b"; expect 400 bad_json "$WORK/b"
echo '[1,2]' >"$WORK/b"; expect 400 bad_job "$WORK/b"
job "$T" many 1701 0 >"$WORK/b"; expect 413 too_many_tasks "$WORK/b"
job "$T" dup 2 0 | sed 's/"t1"/"t0"/' >"$WORK/b"
expect 400 duplicate_task_id "$WORK/b"
job "$T" none 0 0 >"$WORK/b"; expect 400 bad_job "$WORK/b"
job "$T" type 1 0 | sed 's/"service": "service"/"service": 7/' >"$WORK/b"
expect 400 bad_job "$WORK/b"
job "$T" deadline 1 0 | sed 's/"kind"/"deadline_ms": -1, "kind"/' >"$WORK/b"
expect 400 bad_job "$WORK/b"
job "x.y" token 1 0 >"$WORK/b"; expect 400 bad_token "$WORK/b"
job "" notoken 1 0 >"$WORK/b"; expect 428 token_required "$WORK/b"
head -c 1100000 /dev/zero >"$WORK/b"; expect 413 body_too_large "$WORK/b"
printf '{"key":"\xff\xfe"}' >"$WORK/b"; expect 400 bad_json "$WORK/b"
python3 - "${PORT[e1]}" "${PEERS[0]}" "$WORK" <<'PY' || fail "raw connections"
import base64, os, socket, struct, sys
http, peer = int(sys.argv[1]), int(sys.argv[2])

def connect(port):
    s = socket.create_connection(("127.0.0.1", port))
    s.settimeout(30)
    return s

def until_closed(s):
    data = b""
    try:
        while True:
            part = s.recv(65536)
            if not part:
                return data
            data += part
    except ConnectionResetError:
        return data

s = connect(http)
s.sendall(b"GET / HTTP/1.1\r\nX: " + b"a" * 40000 + b"\r\n\r\n")
assert b"431" in until_closed(s).split(b"\r\n")[0]
s = connect(http)
s.sendall(b"\x00\x01garbage\r\n\r\n")
assert b"400" in until_closed(s).split(b"\r\n")[0]
# A truncated body ends with the connection.
s = connect(http)
s.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{")
s.shutdown(socket.SHUT_WR)
until_closed(s)
# A sender slower than the read timeout is cut off.
s = connect(http)
s.sendall(b"POST /v1/jobs HTTP/1.1\r\n")
assert until_closed(s) == b""
# Not a websocket handshake.
s = connect(peer)
s.sendall(b"\x16\x03\x01 not http\r\n\r\n")
until_closed(s)

def websocket():
    s = connect(peer)
    key = base64.b64encode(os.urandom(16))
    s.sendall(b"GET /link HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
              b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
              b"Sec-WebSocket-Key: " + key + b"\r\n\r\n")
    head = b""
    while b"\r\n\r\n" not in head:
        head += s.recv(1)
    assert b"101" in head.split(b"\r\n")[0], head
    return s

def frame(payload):
    length = (bytes([0x80 + len(payload)]) if len(payload) < 126 else
              b"\xfe" + struct.pack(">H", len(payload)))
    return b"\x82" + length + b"\0\0\0\0" + payload

for garbage in (os.urandom(300), b"\x82\x00" + b"\x80" * 200,
                b"\x9f" * 200, b"\xff" * 200):
    s = websocket()
    s.sendall(frame(garbage))
    until_closed(s)

def text(t):
    return bytes([0x40 + len(t)]) + t

# A Hello of protocol version 999, otherwise well formed.
hello = (b"\x82\x00\x8a\x19\x03\xe7\x01" + text(b"other") + b"\x07" +
         text(b"z") + text(b"r") + text(b"") + b"\x00\x00\x00")
s = websocket()
s.sendall(frame(hello))
until_closed(s)
# A frame whose announced length exceeds the bound.
s = websocket()
s.sendall(b"\x82\xff" + struct.pack(">Q", 1 << 40) + b"\0\0\0\0")
until_closed(s)
PY
logged e1 'frame_refused code=bad_frame' 4 || fail "garbage was not logged"
logged e1 'frame_refused code=protocol_version' ||
  fail "the other protocol version was not logged"
kill -0 "${PID[e1]}" || fail "the entry died"
job "$T" after 3 0 >"$WORK/b"
A=$(submit e1 "$WORK/b")
check_answer "$A" 3
case $A in 200*) ;; *) fail "no work after malformed input: $A" ;; esac
check_once p1
