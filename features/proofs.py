"""List the scenarios that prove each invariant, in docs/PROOFS.md."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'PROOFS.md'
TAG_PREFIX = 'invariant_'
# Each invariant of the brief, by the tag of its scenarios.
INVARIANTS = {
    'invariant_budget': "a workspace's budget holds through planned work",
    'invariant_one_pool': 'a host is in exactly one pool',
    'invariant_whole_answer': 'a caller gets the whole answer to its request',
    'invariant_not_run': '"not run" is true',
    'invariant_at_most_once': 'a non-idempotent request runs at most once',
    'invariant_leaving': 'a leaving endpoint gets no new work after seconds',
    'invariant_graceful_stop': 'a planned stop cuts off nothing',
    'invariant_config_in_force': (
        'an accepted configuration is everywhere in seconds, for good'
    ),
}
_HEAD = '| invariant | feature | scenario |\n| --- | --- | --- |\n'
_TABLE = re.compile(re.escape(_HEAD) + r'(?:\|.*\n)*')


def scenarios(root):
    """Return the tags of every scenario by its feature file and name."""
    return {
        (path.name, name): tags
        for path in sorted((root / 'features').glob('*.feature'))
        for name, tags in _read(path.read_text())
    }


def _read(text):
    feature_tags, tags = set(), set()
    for line in map(str.strip, text.splitlines()):
        if line.startswith('@'):
            tags.update(line.replace('@', '').split())
        if line.startswith('Feature:'):
            feature_tags, tags = tags, set()
        name = re.fullmatch(r'Scenario(?: Outline)?: (.*)', line)
        if name:
            yield name[1], feature_tags | tags
        if name or line.startswith('Examples:'):
            tags = set()


def render(root):
    """Return the table of invariants and their scenarios."""
    rows = (
        f'| `{tag}` | {feature} | `{name}` |\n'
        for tag in INVARIANTS
        for (feature, name), tags in scenarios(root).items()
        if tag in tags
    )
    return _HEAD + ''.join(rows)


def main():
    """Bring the table of the page up to date."""
    text = PAGE.read_text()
    PAGE.write_text(_TABLE.sub(lambda _: render(ROOT), text, count=1))


if __name__ == '__main__':
    main()
