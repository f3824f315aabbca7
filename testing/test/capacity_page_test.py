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


class FitTest(unittest.TestCase):
    def test_line_is_fitted_without_bend(self):
        points = [(x, 3 + 2 * x) for x in (1, 2, 4, 8, 16)]
        base, slope, miss = tables.fit(points)
        self.assertAlmostEqual(base, 3)
        self.assertAlmostEqual(slope, 2)
        self.assertAlmostEqual(miss, 0)
        self.assertIsNone(tables.bend(points, 0.15))

    def test_square_and_bounded_series_have_a_bend(self):
        self.assertEqual(tables.bend([(x, x * x) for x in (1, 2, 4, 8)], 0.15), 4)
        self.assertEqual(tables.bend([(1, 10), (2, 20), (3, 30), (4, 30), (5, 30)], 0.15), 4)

    def test_small_noise_is_no_bend(self):
        self.assertIsNone(tables.bend([(1, 10.2), (2, 19.7), (3, 30.4), (4, 39.5)], 0.15))

    def test_single_size_has_no_slope(self):
        self.assertEqual(tables.fit([(5, 7)])[:2], (7, 0))

    def test_numbers_and_verdicts_are_formatted(self):
        written = [tables.number(v) for v in (0, 12.34, 999, 12345, 2.5e6, 1e9, None)]
        self.assertEqual(written, ["0", "12.3", "999", "12.3 k", "2.5 M", "1 G", "-"])
        self.assertEqual(tables.verdict(5, 5), "holds")
        self.assertEqual(tables.verdict(10, 5), "**fails**, 2 times")
        self.assertEqual(tables.verdict(-1, 5), "**fails**")


class RecordedFiguresTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)

    def figures(self, text=FIGURES):
        (pathlib.Path(self.directory.name) / "run.csv").write_text(text)
        return tables.Figures(pathlib.Path(self.directory.name))

    def test_values_are_interpolated_and_extrapolated(self):
        f = self.figures()
        self.assertEqual(f.at("run", "m", "router", "bytes", 10), 100)
        self.assertEqual(f.at("run", "m", "router", "bytes", 15), 200)
        self.assertEqual(f.at("run", "m", "router", "bytes", 30), 500)

    def test_missing_measure_raises_an_error(self):
        f = self.figures()
        with self.assertRaises(ValueError):
            f.at("run", "absent", "router", "bytes", 30)
        with self.assertRaises(ValueError):
            f.only("run", "m", "router", "bytes")

    def test_figures_without_their_command_are_rejected(self):
        with self.assertRaises(ValueError):
            self.figures("measure,role,unit,kind,of,size,value\n")


class CapacityPageTest(unittest.TestCase):
    def setUp(self):
        self.page = tables.PAGE.read_text()
        self.figures = tables.Figures(tables.HERE)

    def test_page_matches_the_figures(self):
        self.assertEqual(tables.made(self.page, self.figures), self.page)

    def test_changed_figure_changes_the_page(self):
        key = ("rest-nodes", "sent.all", "router", "bytes/s")
        self.figures.points[key] = [(x, 3 * y) for x, y in self.figures.points[key]]
        self.assertNotEqual(tables.made(self.page, self.figures), self.page)

    def test_changed_page_is_restored(self):
        touched = self.page.replace("| holds |", "| fails |", 1)
        self.assertNotEqual(touched, self.page)
        self.assertEqual(tables.made(touched, self.figures), self.page)

    def test_page_without_a_table_is_rejected(self):
        with self.assertRaises(ValueError):
            tables.made(self.page.replace("<!-- table node -->", ""), self.figures)

    def test_every_recorded_run_names_its_command(self):
        for line in (tables.HERE / "runs.txt").read_text().splitlines():
            name, command = line.split(" ", 1)
            first = (tables.HERE / f"{name}.csv").read_text().splitlines()[0]
            self.assertEqual(first, "# " + command)


if __name__ == "__main__":
    unittest.main()
