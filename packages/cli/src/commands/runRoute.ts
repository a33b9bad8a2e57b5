import { RouteExplanation, parseJson } from '@limpetbay/core';
import type { CommandContext } from './CommandContext.js';
import { ExitStatus } from './ExitStatus.js';
import { formatRoute } from './formatRoute.js';

interface RouteOptions {
  /** `IP:PORT` of the metrics address of an entry. */
  readonly entry: string;
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly workspace?: string | undefined;
  readonly key?: string | undefined;
  /** `PROMPT,ANSWER` */
  readonly tokens?: string | undefined;
  readonly hint?: string | undefined;
  readonly json: boolean;
}

const TIMEOUT_MS = 5000;

const EXIT_STATUSES = {
  send: ExitStatus.ok,
  wait: ExitStatus.unconfirmed,
  refuse: ExitStatus.refused,
} as const;

/** Prints where an entry would send a request now, and why. @returns the exit status */
export async function runRoute(
  { print, warn }: Pick<CommandContext, 'print' | 'warn'>,
  { entry, key, json, ...fields }: RouteOptions,
): Promise<number> {
  const query = new URLSearchParams();
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined) query.set(name, value);
  }
  let status: number;
  let text: string;
  try {
    const answer = await fetch(`http://${entry}/explain?${query}`, {
      headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    status = answer.status;
    text = await answer.text();
  } catch (error) {
    const { message, cause } = error as Error;
    warn(`could not ask ${entry}: ${cause instanceof Error ? cause.message : message}`);
    return ExitStatus.failed;
  }
  if (status === 400) {
    warn(`${entry} refused the query: ${text.trim()}`);
    return ExitStatus.invalid;
  }
  const explanation = RouteExplanation.safeParse(parseJson(text).unwrapOr(null));
  if (status !== 200 || !explanation.success) {
    warn(`${entry} did not explain the route: status ${status}`);
    return ExitStatus.failed;
  }
  print(json ? text.trim() : formatRoute(explanation.data));
  return EXIT_STATUSES[explanation.data.outcome];
}
