"""The check of the outer names finds a name that no string literal of the product has, and an empty list."""
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
CHECK = [sys.executable, ROOT / '.ci' / 'outer_names']


def check(names, sources=None):
    """Exit code and output of the check for a list with this text, over the product or over these sources."""
    with tempfile.TemporaryDirectory() as folder:
        page = Path(folder) / 'names.txt'
        page.write_text(names)
        command = [*CHECK, '--list', page]
        for name, text in (sources or {}).items():
            path = Path(folder) / 'sources' / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
            command += ['--root', Path(folder) / 'sources']
        done = subprocess.run(command, text=True, capture_output=True)
        return done.returncode, done.stdout


class OuterNames(unittest.TestCase):
    def test_the_list_of_the_repository_passes(self):
        done = subprocess.run(CHECK, text=True, capture_output=True)
        self.assertEqual(done.returncode, 0, done.stdout)
        self.assertRegex(done.stdout, r'outer names: [1-9]\d* names, 0 of them in none of [1-9]\d* sources')

    def test_an_unknown_name_is_shown_with_its_line(self):
        code, output = check('--help\nno-such-name-anywhere\ncluster-bootstrapped\n')
        self.assertEqual(code, 1)
        self.assertIn('names.txt:2: no-such-name-anywhere', output)
        self.assertIn('3 names, 1 of them', output)

    def test_an_empty_list_fails(self):
        self.assertEqual(check('')[0], 1)
        self.assertEqual(check('\n \n')[0], 1)

    def test_a_part_of_a_name_and_an_identifier_do_not_count(self):
        for name in ('cluster-bootstrap', 'luster-bootstrapped', 'corkward_nacelle_events', '--hel', 'WriteAheadLog'):
            self.assertEqual(check(f'{name}\n')[0], 1, name)

    def test_a_renamed_literal_is_found(self):
        before = 'auto key = "coldMs";\nauto text = "{\\"zone\\": 1}";\nauto metric = "# TYPE corkward_up gauge\\n";\n'
        names = 'coldMs\nzone\ncorkward_up\n'
        self.assertEqual(check(names, {'a.cpp': before})[0], 0)
        for name, other in (('coldMs', 'coldMillis'), ('zone', 'zones'), ('corkward_up', 'corkward_up_total')):
            code, output = check(names, {'a.cpp': before.replace(name, other)})
            self.assertEqual(code, 1, name)
            self.assertIn(f': {name} is in no string literal', output)
            self.assertIn('3 names, 1 of them', output)

    def test_a_plain_word_inside_a_sentence_does_not_count(self):
        self.assertEqual(check('zone\n', {'a.cpp': 'fail("the zone is unknown");\n'})[0], 1)

    def test_names_in_comments_includes_and_tests_do_not_count(self):
        self.assertEqual(check('zone\n', {'a.cpp': '// "zone"\n/* "zone" */\n#include "zone"\n'})[0], 1)
        self.assertEqual(check('zone\n', {'core/test/a.cpp': 'auto key = "zone";\n', 'b.h': ''})[0], 1)
        self.assertEqual(check('zone\n', {'testing/sim/a.cpp': 'auto key = "zone";\n', 'b.h': ''})[0], 1)

    def test_quotes_in_character_literals_and_slashes_in_strings_hide_no_name(self):
        text = 'f(\'"\', 1\'000, "http://x", "zone");\nauto raw = R"({"drop": "//"})";\n'
        self.assertEqual(check('zone\ndrop\n', {'a.cpp': text})[0], 0)


if __name__ == '__main__':
    unittest.main()
