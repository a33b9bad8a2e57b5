import {
  ExpertLoadEstimator,
  ManualClock,
  PlacementPlanner,
  computeSkew,
  countMoves,
  packLayer,
} from '@limpetbay/core';

const EXPERTS = 64;
const RANKS = 16;
const SLOTS = 6;

const clock = new ManualClock();
const planner = new PlacementPlanner(clock, {
  bytesPerCopy: 44e6,
  weightBytesPerSecond: 1e9,
  lossPerLoadSecond: 0.05,
  stallSeconds: 0,
  expertShare: 0.5,
  maxLoadsPerRank: 2,
});

// Tokens of one interval by expert. The layer is planned for `counts`; every fifth expert of
// `driftedCounts` receives 50 % more.
const counts = Array.from({ length: EXPERTS }, (_, expert) => Math.round(1e6 / (expert + 1)));
const driftedCounts = counts.map((tokens, expert) => (expert % 5 === 0 ? tokens * 1.5 : tokens));
const layer = packLayer(counts, RANKS, SLOTS);

const loadEstimator = new ExpertLoadEstimator();
loadEstimator.addCounts(driftedCounts, 10_000);
clock.advance(10_000);

const choice = planner.choosePlacement(layer, loadEstimator.getShares());
process.stdout.write(`skew now ${choice.skewNow.toFixed(2)}: ${choice.reason}\n`);
if (choice.next !== null) {
  planner.recordChange();
  const skew = computeSkew(choice.next, loadEstimator.getShares());
  const moves = countMoves(layer, choice.next);
  process.stdout.write(`skew after ${moves} loaded copies ${skew.toFixed(2)}\n`);
}
