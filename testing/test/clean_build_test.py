"""The check of system packages fails with the name of a package that was left out of the list, and only then.

Usage: clean_build_test.py SOURCES BUILD, with a finished build folder.
"""
import subprocess
import sys
import tempfile
from pathlib import Path

sources, build = Path(sys.argv[1]), Path(sys.argv[2])
listed = (sources / 'packages.txt').read_text().split()


def said(names):
    """What the check prints for a list of packages, and whether it passes."""
    with tempfile.NamedTemporaryFile('w', suffix='.txt') as file:
        file.write('\n'.join(names))
        file.flush()
        command = [sources / '.ci' / 'clean_build', '--tests', build, '--packages', file.name]
        done = subprocess.run(command, text=True, capture_output=True)
        return done.stdout + done.stderr, done.returncode == 0


output, passes = said(listed)
assert passes, output
for left_out in ['libsimdjson-dev', 'ninja-build', 'catch2']:
    output, passes = said([name for name in listed if name != left_out])
    assert not passes, f'passes without {left_out}: {output}'
    assert f'{left_out} is not listed' in output, f'does not name {left_out}: {output}'
output, passes = said([*listed, 'no-such-package'])
assert not passes and 'no-such-package' in output, output
