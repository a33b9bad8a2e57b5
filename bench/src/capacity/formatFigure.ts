/** Formats a figure: integers up to four digits in full, all others with three significant ones. */
export function formatFigure(value: number): string {
  if (value === 0) return '0';
  if (Number.isInteger(value) && Math.abs(value) < 10_000) return value.toLocaleString('en-US');
  const rounded = Number(value.toPrecision(3));
  return Math.abs(rounded) >= 1000 ? rounded.toLocaleString('en-US') : String(rounded);
}
