import { readFileSync } from 'node:fs';

const STYLE_PAGE = new URL('../docs/style.md', import.meta.url);

/** Reads the verbs that function names may begin with from the style page. */
function readVerbs() {
  const match = /```verbs\n([\s\S]*?)```/.exec(readFileSync(STYLE_PAGE, 'utf8'));
  return new Set(match[1].split(/\s+/).filter(Boolean));
}

const verbs = readVerbs();

function checkName(context, node, name) {
  const firstWord = /^_?([a-z]+)/.exec(name)?.[1];
  if (firstWord === undefined || verbs.has(firstWord)) return;
  context.report({
    node,
    message: `function name '${name}' does not begin with a verb listed in docs/style.md`,
  });
}

const verbFirstRule = {
  meta: { type: 'suggestion', schema: [] },
  create(context) {
    return {
      FunctionDeclaration(node) {
        if (node.id) checkName(context, node, node.id.name);
      },
      'VariableDeclarator[init.type="ArrowFunctionExpression"]': function (node) {
        if (node.id.type === 'Identifier') checkName(context, node, node.id.name);
      },
      'MethodDefinition[kind="method"]': function (node) {
        if (node.key.type === 'Identifier') checkName(context, node, node.key.name);
      },
      TSMethodSignature(node) {
        if (node.key.type === 'Identifier') checkName(context, node, node.key.name);
      },
    };
  },
};

function collectNames(statement) {
  const { declaration, specifiers } = statement;
  if (!declaration) return specifiers.map((specifier) => specifier.exported.name);
  if (declaration.declarations) return declaration.declarations.map((item) => item.id.name);
  return [declaration.id.name];
}

const oneExportRule = {
  meta: { type: 'suggestion', schema: [] },
  create(context) {
    if (context.filename.endsWith('index.ts')) return {};
    const names = new Set();
    return {
      ExportNamedDeclaration(node) {
        for (const name of collectNames(node)) names.add(name);
      },
      'Program:exit': function (node) {
        if (names.size <= 1) return;
        context.report({
          node,
          message: `file has more than one export: ${[...names].join(', ')}`,
        });
      },
    };
  },
};

export default { rules: { 'verb-first': verbFirstRule, 'one-export': oneExportRule } };
