"""The check of the prose finds each kind of fragment that explains a value, and passes sentences and code."""
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent


def check(text, name='a.h'):
    """Exit code and output of the check for one source with this text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / name
        path.write_text(text)
        command = [sys.executable, ROOT / '.ci' / 'prose', '--root', folder]
        done = subprocess.run(command, text=True, capture_output=True)
        return done.returncode, done.stdout


class Prose(unittest.TestCase):
    def test_each_kind_of_fragment_is_shown_with_its_line(self):
        for fragment in ('/// The holder; nothing: none.', '/// Calls a second; 0: no limit.', '/// Pool; empty: all.',
                         '// @param next the next plan; none: all are played', '/// The clock; -1: no time.',
                         '/// The pool; null: every pool.', '/// The pool; nullptr: every pool.',
                         '/// Whether it ended; false: not yet.', '/// Whether it ended; true: it has.',
                         '/// Time left; below zero: too late.', '/// The length; 0 seconds: no limit.',
                         '/// Name of the mechanism, empty: none.', '/// The age (-1: not known).',
                         '/// Age: -1: not known.', '/// 0: to be computed.', '/// False: there are none.',
                         'int age; ///< Age; -1: not known'):
            code, output = check(f'/// A sentence.\n\n{fragment}\n')
            self.assertEqual(code, 1, fragment)
            self.assertIn('a.h:3: ' + fragment[fragment.index('//'):], output)
            self.assertIn('1 files, 2 lines of comments, 1 of them', output)

    def test_sentences_and_code_pass(self):
        code, output = check('/// Calls a second. If it is 0, there is no limit.\n'
                             '/// A pair of names; both are empty until the first: later they are not.\n'
                             '/// Ratio of hits; 0.5: half. Begins at 10:30; ends at 0:45.\n'
                             'auto text = "// seconds; 0: no limit";\n'
                             'auto raw = R"(\n"// seconds; 0: no limit\n)";\n'
                             'switch (n) { case 0: f(\'"\'); default: g(1\'000); }\n')
        self.assertEqual(code, 0, output)
        self.assertIn('1 files, 3 lines of comments, 0 of them', output)

    def test_sources_of_both_kinds_are_read_and_others_are_not(self):
        self.assertEqual(check('// Rate; 0: no limit\n', 'a.cpp')[0], 1)
        self.assertIn('0 files', check('// Rate; 0: no limit\n', 'a.txt')[1])

    def test_a_folder_without_comments_fails(self):
        self.assertEqual(check('int rate = 0;\n')[0], 1)


if __name__ == '__main__':
    unittest.main()
