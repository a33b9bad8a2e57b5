const HOSTS_PER_NET = 250;

/** Builds the address of an entry from the number at the end of its name. */
export function buildSimAddress(name: string, port: number): string {
  const index = Number(/\d+$/.exec(name)?.[0] ?? 0);
  return `10.2.${Math.floor(index / HOSTS_PER_NET)}.${1 + (index % HOSTS_PER_NET)}:${port}`;
}
