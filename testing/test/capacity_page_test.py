"""Tests of the capacity page's tables: python3 testing/test/capacity_page_test.py"""

import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "docs" / "capacity"))

import tables  # noqa: E402

FIGURES = """# corkward-capacity --part rest
measure,role,unit,kind,of,size,value
m,router,bytes,counted,nodes,10,100
m,router,bytes,counted,nodes,20,300
"""


class Fits(unittest.TestCase):
    def test_a_line_is_found_and_does_not_bend(self):
        points = [(x, 3 + 2 * x) for x in (1, 2, 4, 8, 16)]
        base, slope, miss = tables.fit(points)
        self.assertAlmostEqual(base, 3)
        self.assertAlmostEqual(slope, 2)
        self.assertAlmostEqual(miss, 0)
        self.assertIsNone(tables.bend(points, 0.15))

    def test_a_square_bends_and_a_bound_bends(self):
        self.assertEqual(tables.bend([(x, x * x) for x in (1, 2, 4, 8)], 0.15), 4)
        self.assertEqual(tables.bend([(1, 10), (2, 20), (3, 30), (4, 30), (5, 30)], 0.15), 4)

    def test_small_noise_does_not_bend(self):
        self.assertIsNone(tables.bend([(1, 10.2), (2, 19.7), (3, 30.4), (4, 39.5)], 0.15))

    def test_one_size_has_no_slope(self):
        self.assertEqual(tables.fit([(5, 7)])[:2], (7, 0))

    def test_numbers_and_verdicts(self):
        written = [tables.number(v) for v in (0, 12.34, 999, 12345, 2.5e6, 1e9, None)]
        self.assertEqual(written, ["0", "12.3", "999", "12.3 k", "2.5 M", "1 G", "-"])
        self.assertEqual(tables.verdict(5, 5), "holds")
        self.assertEqual(tables.verdict(10, 5), "**fails**, 2 times")
        self.assertEqual(tables.verdict(-1, 5), "**fails**")


class Recorded(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def figures(self, text=FIGURES):
        (pathlib.Path(self.folder.name) / "run.csv").write_text(text)
        return tables.Figures(pathlib.Path(self.folder.name))

    def test_values_between_and_past_the_sizes(self):
        f = self.figures()
        self.assertEqual(f.at("run", "m", "router", "bytes", 10), 100)
        self.assertEqual(f.at("run", "m", "router", "bytes", 15), 200)
        self.assertEqual(f.at("run", "m", "router", "bytes", 30), 500)

    def test_what_is_not_recorded_is_never_taken_for_nothing(self):
        f = self.figures()
        with self.assertRaises(ValueError):
            f.at("run", "absent", "router", "bytes", 30)
        with self.assertRaises(ValueError):
            f.only("run", "m", "router", "bytes")

    def test_figures_without_their_command_are_denied(self):
        with self.assertRaises(ValueError):
            self.figures("measure,role,unit,kind,of,size,value\n")


class Page(unittest.TestCase):
    def setUp(self):
        self.page = tables.PAGE.read_text()
        self.figures = tables.Figures(tables.HERE)

    def test_the_page_follows_from_the_figures(self):
        self.assertEqual(tables.made(self.page, self.figures), self.page)

    def test_a_changed_figure_shows(self):
        key = ("rest-nodes", "sent.all", "router", "bytes/s")
        self.figures.points[key] = [(x, 3 * y) for x, y in self.figures.points[key]]
        self.assertNotEqual(tables.made(self.page, self.figures), self.page)

    def test_a_changed_page_shows(self):
        touched = self.page.replace("| holds |", "| fails |", 1)
        self.assertNotEqual(touched, self.page)
        self.assertEqual(tables.made(touched, self.figures), self.page)

    def test_a_page_without_a_table_is_denied(self):
        with self.assertRaises(ValueError):
            tables.made(self.page.replace("<!-- table node -->", ""), self.figures)

    def test_every_run_is_recorded_with_its_command(self):
        for line in (tables.HERE / "runs.txt").read_text().splitlines():
            name, command = line.split(" ", 1)
            first = (tables.HERE / f"{name}.csv").read_text().splitlines()[0]
            self.assertEqual(first, "# " + command)


if __name__ == "__main__":
    unittest.main()
