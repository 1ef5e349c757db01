"""A short soak on the users' platform: real processes, seeded faults, every promise to a caller judged. The long one is
Meta/soak.sh."""

import subprocess
import sys
import tempfile
import unittest

BIN = sys.argv.pop(1)


class SoakTest(unittest.TestCase):
    def soak(self, *options):
        with tempfile.TemporaryDirectory() as folder:
            result = subprocess.run(
                [sys.executable, "Meta/soak/soak.py", "--binaries", BIN, "--node-program", f"{BIN}/sagecrank-node",
                 "--keep", folder, *options], capture_output=True, text=True)
            print(result.stdout)
            self.assertEqual(result.returncode, 0, result.stderr)

    def test_refused_calls_never_run(self):
        """Guards against the late copy of a rejection that passes for the response to the call sent again."""
        self.soak("--deployment", "two-servers", "--load", "1", "--faults", "reject,kill-nodes", "--seconds", "15")

    def test_faults_of_all_kinds(self):
        self.soak("--deployment", "borralimpio-central", "--load", "0.2", "--seconds", "15", "--first-seed", "7")


if __name__ == "__main__":
    unittest.main()
