"""Generate the table of invariants and scenarios in docs/PROOFS.md."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'PROOFS.md'
TAG_PREFIX = 'invariant_'
# Invariants of the brief, keyed by the tag of their scenarios.
INVARIANTS = {
    'invariant_budget': "a workspace's budget holds through planned work",
    'invariant_one_pool': 'a host is in exactly one pool',
    'invariant_whole_answer': 'a caller gets the complete response',
    'invariant_not_run': 'a request reported as "not run" did not run',
    'invariant_at_most_once': 'a non-idempotent request runs at most once',
    'invariant_leaving': 'a leaving endpoint gets no new work after seconds',
    'invariant_graceful_stop': 'a planned stop interrupts no request',
    'invariant_config_in_force': (
        'an accepted configuration is in force everywhere in seconds '
        'and is not reverted'
    ),
}
_HEAD = '| invariant | feature | scenario |\n| --- | --- | --- |\n'
_TABLE = re.compile(re.escape(_HEAD) + r'(?:\|.*\n)*')


def scenarios(root):
    """Return the tags of each scenario, keyed by feature file and name."""
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
    """Return the Markdown table of invariants and scenarios."""
    rows = (
        f'| `{tag}` | {feature} | `{name}` |\n'
        for tag in INVARIANTS
        for (feature, name), tags in scenarios(root).items()
        if tag in tags
    )
    return _HEAD + ''.join(rows)


def main():
    """Update the table in the page."""
    text = PAGE.read_text()
    PAGE.write_text(_TABLE.sub(lambda _: render(ROOT), text, count=1))


if __name__ == '__main__':
    main()
