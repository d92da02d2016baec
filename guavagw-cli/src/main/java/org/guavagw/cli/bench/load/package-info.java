/** Load scenarios in virtual time: production placement and limits with simulated engines. */
package org.guavagw.cli.bench.load;
