/** Load scenarios in virtual time: real placement and limits in front of modelled engines. */
package org.guavagw.cli.bench.load;
