/** Command line programs: entry daemon, operators' client, demo, checker and benches. */
package org.guavagw.cli;
