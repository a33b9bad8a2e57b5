import type { IncomingHttpHeaders } from 'node:http';
import type { Header } from '@limpetbay/core';
import { hopByHopHeaders } from './hopByHopHeaders.js';

/** Lists the headers to forward: all but the hop-by-hop ones, one entry per value. */
export function listForwardedHeaders(headers: IncomingHttpHeaders): Header[] {
  const list: Header[] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopByHopHeaders.has(name)) continue;
    for (const item of Array.isArray(value) ? value : [value]) list.push({ name, value: item });
  }
  return list;
}
