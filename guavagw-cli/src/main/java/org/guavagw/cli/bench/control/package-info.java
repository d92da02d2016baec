/** Bench of the control plane: many entries in one process, real messages over loopback. */
package org.guavagw.cli.bench.control;
