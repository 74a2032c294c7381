/**
 * Keeps SIGHUP from ending a process that starts: by default this signal ends a process, and it may
 * arrive while modules are still loading. Must be the first import of a main module. A signal this
 * early needs no other effect, since the settings are read after it.
 */
process.on('SIGHUP', () => undefined);
