"""sagecrank-check says by its exit code whether a history holds, is broken, proves nothing, or cannot be read."""

import json
import os
import subprocess
import sys
import tempfile
import unittest

BIN = sys.argv.pop(1)


def stream(process, *events):
    lines = []
    for number, event in enumerate([("process.started", {"pid": 1}), *events], start=1):
        name, fields = event
        lines.append(json.dumps({"t": number * 1000, "p": process, "n": number, "e": name, **fields}))
    return "\n".join(lines) + "\n"


def swapped(version, previous):
    return ("node.swapped", {"version": version, "previous": previous, "site": "s", "digest": "d",
                             "clusters": ["a"], "routes": ["a"]})


class CheckTest(unittest.TestCase):
    def check(self, text, *arguments):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "history")
            with open(path, "w") as file:
                file.write(text)
            return subprocess.run([f"{BIN}/sagecrank-check", path, *arguments], capture_output=True, text=True)

    def test_exit_codes(self):
        point = ("--points", "version-never-back")
        rows = [
            ("holds", stream("n", swapped(1, 0), swapped(2, 1)), point, 0),
            ("broken", stream("n", swapped(2, 0), swapped(1, 2)), point, 1),
            ("vacuous", stream("n"), point, 1),
            ("unknown promise", stream("n"), ("--points", "no-such"), 2),
            ("unknown option", stream("n"), ("--no-such",), 2),
            ("unreadable", "garbage\n", point, 3),
        ]
        for name, text, arguments, code in rows:
            with self.subTest(name=name):
                self.assertEqual(self.check(text, *arguments).returncode, code)

    def test_violations_show_their_events(self):
        result = self.check(stream("n", swapped(2, 0), swapped(1, 2)), "--points", "version-never-back")
        self.assertIn("n went from version 2 to version 1", result.stdout)
        self.assertIn('"version":1,"previous":2', result.stdout)

    def test_json(self):
        result = self.check(stream("n", swapped(1, 0)), "--points", "version-never-back,at-most-once", "--json")
        answer = json.loads(result.stdout)
        self.assertEqual([row["result"] for row in answer["promises"]], ["holds", "VACUOUS"])


if __name__ == "__main__":
    unittest.main()
