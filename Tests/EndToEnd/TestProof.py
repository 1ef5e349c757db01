"""A short proof run: real processes, two faults at once, every promise judged. The long set is Meta/prove.sh."""

import subprocess
import sys
import tempfile
import unittest

BIN = sys.argv.pop(1)


class ProofTest(unittest.TestCase):
    """The callers see no answer for a while when a node dies, and refusals while the table is away; what was
    answered must hold all the same. The time that a version may take is wide here, since a test machine may be
    busy; Meta/prove.sh holds it to the promised one."""

    def prove(self, faults, seed=7, seconds=6):
        with tempfile.TemporaryDirectory() as folder:
            return subprocess.run(
                [sys.executable, "Meta/prove/prove.py", "--binaries", BIN, "--keep", folder, "--faults", faults,
                 "--seconds", str(seconds), "--convergence", "10", "--first-seed", str(seed),
                 # Enough long work that every upstream has some in flight when it is told to leave.
                 "--visitors", "24", "--pause-ms", "20", "--work-ms", "200"],
                capture_output=True, text=True)

    def test_two_faults_at_once(self):
        result = self.prove("drain+drain+shed,kill-node+two-operators")
        print(result.stdout)
        self.assertEqual(result.returncode, 0, result.stderr)

    def test_upstreams_that_ask_for_less_and_leave(self):
        """What upstreams state in their answers only: a limit on their calls, and that they leave."""
        result = self.prove("named-limit+named-limit+leaves-quietly")
        print(result.stdout)
        self.assertEqual(result.returncode, 0, result.stderr)

    def test_soak(self):
        """Faults of all kinds in series and overlapping, as a seed draws them."""
        result = self.prove("soak", seed=30, seconds=8)
        print(result.stdout)
        self.assertEqual(result.returncode, 0, result.stderr)


if __name__ == "__main__":
    unittest.main()
