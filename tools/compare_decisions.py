"""Compares the product's decisions with static pools and greedy moves.

Usage: python -m tools.compare_decisions --seeds 10 --svg comparison.svg
"""

from collections.abc import Mapping, Sequence
import statistics
import sys
from xml.etree import ElementTree

from absl import flags

from tools import baselines
from tools import replay

# Not the global flags: other tools define flags of the same names.
_FLAGS = flags.FlagValues()
_SEEDS = flags.DEFINE_integer(
    'seeds', 10, 'replays of each policy', flag_values=_FLAGS
)
_SECONDS = flags.DEFINE_integer(
    'seconds', 900, 'length of a replay', flag_values=_FLAGS
)
_SVG = flags.DEFINE_string('svg', '', 'file for the plot', flag_values=_FLAGS)

MEASURES = ('buffer', 'rollout', 'moves')
# By how much the product may be worse than the better baseline.
TOLERANCE = 1.05
Figures = Mapping[str, Sequence[replay.Outcome]]


def collect(
    deployment: replay.Deployment, seeds: int, seconds: int
) -> dict[str, list[replay.Outcome]]:
    """Replay the same series under each policy."""
    return {
        policy: [
            replay.Replay(deployment, mover, seed, seconds).run()
            for seed in range(1, seeds + 1)
        ]
        for policy, mover in baselines.POLICIES.items()
    }


def find_median(outcomes: Sequence[replay.Outcome], field: str) -> float:
    """Return the median of one figure over the seeds."""
    return statistics.median(getattr(o, field) for o in outcomes)


def weigh(figures: Figures, deployment: replay.Deployment) -> dict[str, float]:
    """Return each policy's weighted measure; less is better.

    Each figure is taken relative to the larger one of the two baselines,
    so that the three have the same scale.
    """
    weighted = dict.fromkeys(figures, 0.0)
    for field, weight in zip(MEASURES, deployment.weights, strict=True):
        medians = {p: find_median(figures[p], field) for p in figures}
        scale = max(medians['static'], medians['greedy'])
        for policy, value in medians.items():
            weighted[policy] += weight * value / scale
    return weighted


def judge(figures: Figures, deployment: replay.Deployment) -> dict[str, bool]:
    """Tell which parts of the goal of the design page are met."""
    weighted = weigh(figures, deployment)
    verdicts = {
        'weighted measure ahead of both': weighted['product']
        < min(weighted['static'], weighted['greedy'])
    }
    for field in MEASURES:
        own = find_median(figures['product'], field)
        for other in ('static', 'greedy'):
            limit = TOLERANCE * find_median(figures[other], field)
            verdicts[f'{field} within 5 % of {other}'] = own <= limit
    verdicts['no budget violations'] = not any(
        o.violations for o in figures['product']
    )
    return verdicts


def print_table(figures: Figures, deployment: replay.Deployment) -> None:
    """Print min, median and max of every figure, and the verdicts."""
    print(f'\n{deployment.name}')
    header = ''.join(f'{policy:>32}' for policy in figures)
    print(f'{"min / median / max":18}{header}')
    for field in replay.Outcome._fields:
        cells = []
        for outcomes in figures.values():
            values = sorted(getattr(o, field) for o in outcomes)
            middle = statistics.median(values)
            cells.append(
                ' / '.join(f'{v:.4g}' for v in (values[0], middle, values[-1]))
            )
        print(f'{field:18}' + ''.join(f'{cell:>32}' for cell in cells))
    weighted = weigh(figures, deployment)
    cells = [f'{value:32.3f}' for value in weighted.values()]
    print(f'{"weighted":18}' + ''.join(cells))
    for text, met in judge(figures, deployment).items():
        print(f'  {"met    " if met else "NOT MET"} {text}')


def draw_plot(results: Mapping[str, Figures]) -> ElementTree.ElementTree:
    """Draw bars from min to max with a mark at the median."""
    width, row, left = 640, 18, 230
    root = ElementTree.Element('svg', xmlns='http://www.w3.org/2000/svg')
    colours = {'product': '#1b6', 'static': '#888', 'greedy': '#c63'}
    y = 10
    for name, figures in results.items():
        for field in MEASURES:
            values = {
                p: sorted(getattr(o, field) for o in outcomes)
                for p, outcomes in figures.items()
            }
            longest = max(v for found in values.values() for v in found)
            scale = (width - left - 20) / max(longest, 1)
            for policy, found in values.items():
                label = f'{name} {field} {policy}'
                ends = [v * scale for v in found]
                _draw_bar(root, label, colours[policy], y, left, ends)
                y += row
            y += row // 2
    root.set('viewBox', f'0 0 {width} {y}')
    return ElementTree.ElementTree(root)


def _draw_bar(
    root: ElementTree.Element,
    label: str,
    colour: str,
    y: int,
    left: int,
    ends: Sequence[float],
) -> None:
    text = ElementTree.SubElement(
        root, 'text', {'x': '5', 'y': str(y + 11), 'font-size': '10'}
    )
    text.text = label
    spans = [
        (0.0, statistics.median(ends), '0.45'),
        (ends[0], max(ends[-1] - ends[0], 1), '0.9'),
    ]
    for start, length, opacity in spans:
        ElementTree.SubElement(
            root,
            'rect',
            {
                'x': f'{left + start:.1f}',
                'y': str(y),
                'width': f'{length:.1f}',
                'height': '13',
                'fill': colour,
                'fill-opacity': opacity,
            },
        )


def main() -> None:
    """Print the comparison of both deployments."""
    _FLAGS(sys.argv)
    results = {}
    for deployment in (replay.GHALA, replay.LUMIERE):
        figures = collect(deployment, _SEEDS.value, _SECONDS.value)
        print_table(figures, deployment)
        results[deployment.name] = figures
    if _SVG.value:
        draw_plot(results).write(_SVG.value, encoding='unicode')


if __name__ == '__main__':
    main()
