"""The glossary's check finds a name that the sources do not have, and a page without names."""
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent


def check(page):
    """Exit code and output of the check for a page with this text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'page.md'
        path.write_text(page)
        command = [sys.executable, ROOT / '.ci' / 'glossary', '--page', path]
        done = subprocess.run(command, text=True, capture_output=True)
        return done.returncode, done.stdout


class Glossary(unittest.TestCase):
    def test_a_page_of_names_that_exist_passes(self):
        self.assertEqual(check('| word | `ReplicatedRegisters`, `WriteAheadLog` |\n')[0], 0)

    def test_a_name_that_does_not_exist_is_shown_with_its_line(self):
        code, output = check('| word | `WriteAheadLog` |\n| word | `NoSuchClassAnywhere` |\n')
        self.assertEqual(code, 1)
        self.assertIn('page.md:2: NoSuchClassAnywhere', output)

    def test_names_before_the_last_column_and_in_prose_do_not_count(self):
        self.assertEqual(check('`Nothing`\n| `NoSuchWord` | `Ballot` |\n')[0], 0)

    def test_a_page_without_names_fails(self):
        self.assertEqual(check('# Glossary\n')[0], 1)


if __name__ == '__main__':
    unittest.main()
