"""A client's link with a bandwidth and segments as on Ethernet: narrow_link.py HOST PORT MBPS prints its own port, then relays.

The segment size matters: on loopback segments are 64 KB long, and a sender's kernel buffers megabytes for a connection; with the
segments of a real network it buffers tens of kilobytes.
"""
import socket
import sys
import threading
import time

HOST, PORT, MBPS = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
SEGMENT_BYTES = 1448
WINDOW_BYTES = 65536
TICK_S = 0.01


def relay(source, target, bytes_per_tick):
    try:
        while True:
            chunk = source.recv(bytes_per_tick or 65536)
            if not chunk:
                break
            target.sendall(chunk)
            if bytes_per_tick:
                time.sleep(TICK_S * len(chunk) / bytes_per_tick)
        target.shutdown(socket.SHUT_WR)
    except OSError:
        for end in (source, target):
            end.close()


def serve(client):
    gateway = socket.socket()
    gateway.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    gateway.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    try:
        gateway.connect((HOST, PORT))
    except OSError:
        client.close()
        return
    threading.Thread(target=relay, args=(client, gateway, 0), daemon=True).start()
    relay(gateway, client, int(MBPS * 1e6 / 8 * TICK_S))


listener = socket.socket()
listener.bind(('127.0.0.1', 0))
listener.listen(256)
print(listener.getsockname()[1], flush=True)
while True:
    connection, _ = listener.accept()
    threading.Thread(target=serve, args=(connection,), daemon=True).start()
