/** Fills a settings template as the platform does: the part of DEPLOY.md that the template uses. */

function lookUp(fields, path) {
  return path.split('.').reduce((value, name) => value?.[name], fields);
}

function toText(value) {
  if (value === undefined || value === null) {
    return '';
  }
  if (Array.isArray(value)) {
    return value.join(',');
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Returns the settings of one process. */
export function fillTemplate(template, fields) {
  const withLoops = template.replace(
    /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs,
    (_whole, path, inner) => {
      const entries = Object.entries(lookUp(fields, path) ?? {});
      return entries
        .map(([key, value], index) =>
          inner
            .replaceAll('{{@}}', key)
            .replaceAll('{{.}}', toText(value))
            .replaceAll('{{,}}', index < entries.length - 1 ? ',' : ''),
        )
        .join('');
    },
  );
  return withLoops.replace(/\{\{([\w.]+)\}\}/g, (_whole, path) => toText(lookUp(fields, path)));
}
