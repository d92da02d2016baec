/** The operators' client {@code guavagwctl}: reads and changes the configuration of entries. */
package org.guavagw.cli.ctl;
