"""Tests of the table of result codes."""

import pathlib

from tools import codes_page

from carawaystair import codes

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'CODES.md'


def test_page_matches_the_table():
    assert PAGE.read_text() == codes_page.page(), 'run "make docs"'


def test_sentence_names_code_and_detail():
    failure = codes.Failure(codes.NO_ROUTE, 'GET /x')
    assert failure.sentence().startswith('CS-3001 No route')
    assert failure.sentence().endswith('(GET /x)')
