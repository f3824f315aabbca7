"""Tests that the check of system packages fails with the name of each package missing from the list, and only then.

Usage: clean_build_test.py SOURCES BUILD, with a finished build directory.
"""
import subprocess
import sys
import tempfile
from pathlib import Path

sources, build = Path(sys.argv[1]), Path(sys.argv[2])
listed = (sources / 'packages.txt').read_text().split()


def run_check(names):
    """Returns the check's output for a list of packages, and whether it passed."""
    with tempfile.NamedTemporaryFile('w', suffix='.txt') as file:
        file.write('\n'.join(names))
        file.flush()
        command = [sources / '.ci' / 'clean_build', '--tests', build, '--packages', file.name]
        done = subprocess.run(command, text=True, capture_output=True)
        return done.stdout + done.stderr, done.returncode == 0


output, passes = run_check(listed)
assert passes, output
for left_out in ['libsimdjson-dev', 'ninja-build', 'catch2']:
    output, passes = run_check([name for name in listed if name != left_out])
    assert not passes, f'passes without {left_out}: {output}'
    assert f'{left_out} is not listed' in output, f'does not name {left_out}: {output}'
output, passes = run_check([*listed, 'no-such-package'])
assert not passes and 'no-such-package' in output, output
