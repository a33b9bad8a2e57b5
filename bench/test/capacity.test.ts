import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import type { CapacitySlope } from '../src/capacity/CapacitySlope.js';
import { compareSlope } from '../src/capacity/compareSlope.js';
import { computeTables } from '../src/capacity/computeTables.js';
import { fitLine } from '../src/capacity/fitLine.js';
import { loadSlopes } from '../src/capacity/loadSlopes.js';
import { pageFile } from '../src/capacity/pageFile.js';
import { replaceTables } from '../src/capacity/replaceTables.js';

const slope: CapacitySlope = {
  id: 'entry.frame',
  unit: 'us',
  per: 'answer frame',
  kind: 'time',
  slope: 2,
  intercept: 10,
  error: 0,
  sizes: [1, 2, 10],
};

describe('capacity page', () => {
  // Guards against a page that shows figures that do not follow from the recorded slopes.
  it('holds the tables that the recorded slopes give', () => {
    const page = readFileSync(pageFile, 'utf8');
    expect(page).toBe(replaceTables(page, computeTables(loadSlopes())));
  });

  // Guards against a table that is computed but stands nowhere.
  it('fails for a table without markers', () => {
    expect(() => replaceTables('no markers', computeTables(loadSlopes()))).toThrow('entry');
  });
});

describe('capacity slopes', () => {
  // Guards against a wrong fit, which every figure of the page goes through.
  it('fits an exact line without error', () => {
    const line = fitLine([
      [1, 5],
      [2, 7],
      [4, 11],
    ]);
    expect(line.slope).toBeCloseTo(2);
    expect(line.intercept).toBeCloseTo(3);
    expect(line.error).toBeCloseTo(0);
  });

  // Guards against an error estimate that hides a cost that does not follow a line.
  it('reports the error of points off the line', () => {
    const line = fitLine([
      [1, 1],
      [2, 5],
      [3, 1],
      [4, 9],
    ]);
    expect(line.slope).toBeCloseTo(2);
    // Residuals 0, 2, -4, 2 over a spread of 5.
    expect(line.error).toBeCloseTo(Math.sqrt(24 / 2 / 5) / 2);
  });

  // Guards against a regression by more than the tolerance that passes, in either direction.
  it.each([
    [1, true],
    [1.9, true],
    [2.1, false],
    [0.55, true],
    [0.45, false],
  ])('compares %d times the recorded time', (factor, pass) => {
    const measured = { ...slope, slope: 2 * factor, intercept: 10 * factor };
    const results = compareSlope(measured, slope);
    expect(results.every((result) => result.pass)).toBe(pass);
  });

  // Guards against counts or bytes that change unnoticed within the tolerance for time.
  it('holds exact figures to one percent', () => {
    const recorded: CapacitySlope = { ...slope, kind: 'exact' };
    const measured = { ...recorded, slope: 2.05, intercept: 10.2 };
    expect(compareSlope(measured, recorded).every((result) => result.pass)).toBe(false);
  });

  // Guards against a new slope that is never recorded and therefore never compared.
  it('fails without a recorded slope', () => {
    expect(compareSlope(slope, undefined).every((result) => result.pass)).toBe(false);
  });
});
