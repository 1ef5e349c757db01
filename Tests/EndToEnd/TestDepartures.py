"""A node on the platform with a store of rows: what it confirms to its server, and what it asks of it after a restart."""

import http.client
import json
import time
import unittest

from mesh_test import MeshTest
from processes import get, post_json

DOWN = json.dumps({"down": True, "down_answers": True})  # Every call is answered 503.


class TestDepartures(MeshTest):
    def setUp(self):
        self.prepare()
        self.store, self.server = self.address(), self.address()
        self.control, first, last = self.address(), self.address(), self.address()
        self.proof_ports = [int(address.split(":")[1]) for address in (first, last)]
        self.addresses = {role: self.address() for role in ("callers", "peers", "gossip", "control", "admin", "probe")}
        self.run_program("sagecrank-rows-emulator", "--listen", self.store)
        self.await_condition(lambda: self.set_faults("{}"), "the store")
        self.sequence = 0

    def set_faults(self, faults):
        return post_json(self.store, "/emulator/faults", faults)[0] == 200

    def start(self):
        listen = "\n".join(f'{role} = "{address}"' for role, address in self.addresses.items())
        with open(f"{self.folder}/node.toml", "w") as file:
            file.write(f"""[node]
id = "n-1"
region = "loopback"
zone = "zone"
site = "platform"
[listen]
{listen}
announcements = "{self.control}"
proof_ports = {self.proof_ports}
[platform]
kind = "rows"
address = "{self.store}"
upstream = "{self.server}"
upstream_service = "booking"
""")
        node = self.run_program("sagecrank-node", "--settings", f"{self.folder}/node.toml")
        self.await_condition(lambda: get(self.addresses["admin"], "/health")[0] == 200, "the node")
        return node

    def send(self, address, method, instance, body=None):
        host, port = address.split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        connection.request(method, f"/api/instances/{instance}", body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        text = response.read()
        connection.close()
        return response.status, text

    def check_in(self, instance, born, address=None):
        """Returns the address for the next check-in, if the response names one."""
        self.sequence += 1
        body = json.dumps({"service": "booking", "address": self.server, "zone": "zone", "version": "v1", "slots": 4,
                           "state": "ready", "coldLeft": "0ms", "callSeq": self.sequence, "born": born})
        status, text = self.send(address or self.control, "PUT", instance, body)
        self.assertEqual(status, 200, text)
        return json.loads(text).get("beatAddr")

    def upstream_state(self):
        return json.loads(get(self.addresses["admin"], "/status")[1])["upstream"]

    def test_a_departure_of_an_unknown_instance_is_confirmed_only_when_it_is_kept(self):
        """Guards against a confirmation that the node's next process does not know of."""
        self.start()
        self.check_in("i-1", 1000)
        self.set_faults(DOWN)
        self.assertEqual(self.send(self.control, "DELETE", "i-2")[0], 503)
        self.set_faults("{}")
        self.assertEqual(self.send(self.control, "DELETE", "i-2")[0], 200)

    def test_a_server_proves_that_it_runs_while_the_store_is_away(self):
        """Guards against delayed check-ins that are believed, and a healthy server that stays out."""
        node = self.start()
        born = int(time.time() * 1000)
        self.check_in("i-1", born)
        self.assertEqual(self.upstream_state(), "ready")
        self.set_faults(DOWN)
        node.kill()
        node.wait()
        self.start()
        for _ in range(3):
            proof = self.check_in("i-1", born)
            self.assertIsNotNone(proof)
            self.assertEqual(self.upstream_state(), "none")
        self.assertEqual(self.check_in("i-1", born, proof), self.control)
        self.assertEqual(self.upstream_state(), "ready")
        self.assertIsNone(self.check_in("i-1", born))


if __name__ == "__main__":
    unittest.main()
