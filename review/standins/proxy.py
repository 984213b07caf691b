"""Loopback proxy in front of a worker, which can cut the worker off.

While it is cut, nothing passes in either direction and channels hang. Bytes that are
held up are lost: the channels they came on are reset when the cut ends.
"""

import contextlib
import socket
import struct
import threading


class Proxy:
    def __init__(self, target_port):
        self.target_port = target_port
        self.is_cut = False
        self.lock = threading.Lock()
        self.pairs = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def cut(self):
        self.is_cut = True

    def heal(self):
        with self.lock:
            for sock in list(self.pairs):
                reset(sock)
            self.pairs.clear()
            self.is_cut = False

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            with self.lock:
                self.pairs.add(client)
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client):
        if self.is_cut:
            return  # the channel hangs until the cut ends
        try:
            server = socket.create_connection(("127.0.0.1", self.target_port))
        except OSError:
            reset(client)
            return
        with self.lock:
            self.pairs.add(server)
        for source, sink in ((client, server), (server, client)):
            threading.Thread(target=self._pump, args=(source, sink), daemon=True).start()

    def _pump(self, source, sink):
        with contextlib.suppress(OSError):
            while True:
                data = source.recv(65536)
                if self.is_cut:
                    return
                if not data:
                    break
                sink.sendall(data)
        if not self.is_cut:
            for sock in (source, sink):
                with self.lock:
                    self.pairs.discard(sock)
                reset(sock)


def reset(sock):
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
