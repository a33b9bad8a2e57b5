import { parseAddress } from '@limpetbay/core';

type ParsedAddress = ReturnType<typeof parseAddress>;

/** More addresses than a fleet has processes. */
const MAX_ADDRESSES = 4096;

/** Parses addresses; keeps those that were parsed, because most messages go to the same ones. */
export class AddressCache {
  readonly #parsed = new Map<string, ParsedAddress>();

  /** @returns the same as `parseAddress` */
  parse(address: string): ParsedAddress {
    const known = this.#parsed.get(address);
    if (known !== undefined) return known;
    const parsed = parseAddress(address);
    if (parsed.err) return parsed;
    if (this.#parsed.size >= MAX_ADDRESSES) this.#parsed.clear();
    this.#parsed.set(address, parsed);
    return parsed;
  }
}
