"""Tests that the glossary check reports names missing from the sources and pages without names."""
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent


def check(page):
    """Returns the exit code and output of the check for a page with this text."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'page.md'
        path.write_text(page)
        command = [sys.executable, ROOT / '.ci' / 'glossary', '--page', path]
        done = subprocess.run(command, text=True, capture_output=True)
        return done.returncode, done.stdout


class Glossary(unittest.TestCase):
    def test_page_with_existing_names_passes(self):
        self.assertEqual(check('| word | `ReplicatedRegisters`, `WriteAheadLog` |\n')[0], 0)

    def test_missing_name_is_reported_with_its_line(self):
        code, output = check('| word | `WriteAheadLog` |\n| word | `NoSuchClassAnywhere` |\n')
        self.assertEqual(code, 1)
        self.assertIn('page.md:2: NoSuchClassAnywhere', output)

    def test_names_outside_the_last_column_are_ignored(self):
        self.assertEqual(check('`Nothing`\n| `NoSuchWord` | `Ballot` |\n')[0], 0)

    def test_page_without_names_fails(self):
        self.assertEqual(check('# Glossary\n')[0], 1)


if __name__ == '__main__':
    unittest.main()
