import { command, flag, option, optional, positional, string, subcommands } from 'cmd-ts';
import { EtcdStore, InstanceListClient } from '@limpetbay/platform';
import { RelayClient } from '@limpetbay/rpc';
import { IniFormat, RealClock, readSettings } from '@limpetbay/runtime';
import { CliSettings } from '../settings/CliSettings.js';
import type { CommandContext } from './CommandContext.js';
import { ExitStatus } from './ExitStatus.js';
import { runAccept } from './runAccept.js';
import { runDiff } from './runDiff.js';
import { runRoute } from './runRoute.js';
import { runShow } from './runShow.js';
import { runStatus } from './runStatus.js';
import { runValidate } from './runValidate.js';

type Output = Pick<CommandContext, 'print' | 'warn'>;

interface AppOptions {
  readonly version: string;
  readonly output: Output;
}

const DEFAULT_SETTINGS = 'limpetbay.ini';

const settings = option({
  type: string,
  long: 'settings',
  description: 'settings file (INI)',
  defaultValue: () => DEFAULT_SETTINGS,
  defaultValueIsSerializable: true,
});
const check = flag({ long: 'check', description: 'only validate the settings file' });
const entry = option({
  type: {
    ...string,
    from: async (text: string) => {
      if (/^[^\s/]+:\d+$/.test(text)) return text;
      throw new Error('allowed: IP:PORT');
    },
  },
  long: 'entry',
  description: 'metrics address of the entry that is asked (IP:PORT)',
});
const file = positional({ type: string, displayName: 'FILE', description: 'document file (INI)' });
const service = positional({ type: string, displayName: 'NAME', description: 'service name' });

async function runWithSettings(
  output: Output,
  args: { readonly settings: string; readonly check: boolean },
  run: (context: CommandContext) => Promise<number>,
): Promise<number> {
  const read = readSettings(args.settings, new IniFormat(CliSettings));
  if (read.err) {
    output.warn(read.val.message);
    return ExitStatus.invalid;
  }
  if (args.check) {
    output.print(`${args.settings}: valid`);
    return ExitStatus.ok;
  }
  const { settings: checked } = read.val;
  const { store, instances } = checked;
  const clock = new RealClock();
  const context: CommandContext = {
    ...output,
    settings: checked,
    clock,
    store: new EtcdStore({ address: store.address, timeoutMs: store.timeout_ms, clock }),
    instanceList: new InstanceListClient({ url: instances.url, timeoutMs: instances.timeout_ms }),
    relays: new RelayClient(),
  };
  try {
    return await run(context);
  } finally {
    context.store.close();
    await context.instanceList.close();
  }
}

/** Creates the command-line parser. The handler of each command resolves to its exit status. */
export function createApp({ version, output }: AppOptions) {
  return subcommands({
    name: 'limpetbay',
    version,
    description: 'Accepts service documents and shows which are active',
    cmds: {
      accept: command({
        name: 'accept',
        version,
        description: 'accept a document and wait until it is active',
        args: {
          settings,
          check,
          file,
          ignoreBase: flag({
            long: 'ignore-base',
            description: "ignore the '; revision =' line that 'show' printed into the file",
          }),
        },
        handler: async (args) =>
          runWithSettings(output, args, (context) =>
            runAccept(context, args.file, args.ignoreBase),
          ),
      }),
      validate: command({
        name: 'validate',
        version,
        description: 'validate a document without connecting to the store',
        args: { file },
        handler: async (args) => runValidate(output, args.file),
      }),
      show: command({
        name: 'show',
        version,
        description: 'print the accepted document of a service',
        args: { settings, check, service },
        handler: async (args) =>
          runWithSettings(output, args, (context) => runShow(context, args.service)),
      }),
      diff: command({
        name: 'diff',
        version,
        description: 'print what accepting a document would change',
        args: { settings, check, file },
        handler: async (args) =>
          runWithSettings(output, args, (context) => runDiff(context, args.file)),
      }),
      route: command({
        name: 'route',
        version,
        description: 'print where a request would go now and why, without sending it',
        args: {
          entry,
          method: option({
            type: string,
            long: 'method',
            description: 'method of the request',
            defaultValue: () => 'GET',
            defaultValueIsSerializable: true,
          }),
          host: option({ type: string, long: 'host', description: 'host of the request' }),
          path: option({ type: string, long: 'path', description: 'path of the request' }),
          workspace: option({
            type: optional(string),
            long: 'workspace',
            description: 'name of the workspace',
          }),
          key: option({
            type: optional(string),
            long: 'key',
            description: 'API key, in place of the workspace',
          }),
          tokens: option({
            type: optional(string),
            long: 'tokens',
            description: 'tokens of the prompt and most of the answer (PROMPT,ANSWER)',
          }),
          hint: option({
            type: optional(string),
            long: 'hint',
            description: 'expected length of the answer in tokens',
          }),
          json: flag({ long: 'json', description: 'print JSON' }),
        },
        handler: async (args) => runRoute(output, args),
      }),
      status: command({
        name: 'status',
        version,
        description: 'print problems, then the active documents and the state of each zone',
        args: { settings, check },
        handler: async (args) => runWithSettings(output, args, runStatus),
      }),
    },
  });
}
