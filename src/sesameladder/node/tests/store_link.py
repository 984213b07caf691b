"""Link of one process to the stand-in's store, which tests can cut; for tests."""

import select
import socket
from contextlib import suppress
from socketserver import BaseRequestHandler, ThreadingTCPServer
from threading import Event, Thread

POLL_INTERVAL_S = 0.05
CHUNK_BYTES = 65_536


class StoreLink:
    """Forwards connections to an address, until it is cut.

    While it is cut, connections are accepted and nothing is passed on, as when a
    network drops packets. What was under way is dropped with its connection.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.target = host, int(port)
        self.is_cut = False
        self.is_stopping = Event()
        link = self

        class Handler(BaseRequestHandler):
            def handle(self) -> None:
                link.forward(self.request)

        class Server(ThreadingTCPServer):
            daemon_threads = True
            request_queue_size = 64

        self.server = Server(("127.0.0.1", 0), Handler)
        self.thread = Thread(target=self.server.serve_forever, daemon=True)
        self.thread.start()

    @property
    def address(self) -> str:
        """The ``host:port`` that the process calls instead of the store's."""
        host, port = self.server.server_address[:2]
        return f"{host!s}:{port}"

    def stop(self) -> None:
        """Stop forwarding and end all connections."""
        self.is_stopping.set()
        self.server.shutdown()
        self.server.server_close()

    def forward(self, client: socket.socket) -> None:
        """Pass the bytes of one connection on in both directions."""
        with suppress(OSError), socket.create_connection(self.target) as target:
            peers = {client: target, target: client}
            while not self.is_stopping.is_set():
                if self.is_cut:
                    self._wait_until_restored()
                    return
                readable, _, _ = select.select([*peers], [], [], POLL_INTERVAL_S)
                for source in readable:
                    data = source.recv(CHUNK_BYTES)
                    if self.is_cut:
                        break
                    if not data:
                        return
                    peers[source].sendall(data)

    def _wait_until_restored(self) -> None:
        while self.is_cut and not self.is_stopping.wait(POLL_INTERVAL_S):
            pass
