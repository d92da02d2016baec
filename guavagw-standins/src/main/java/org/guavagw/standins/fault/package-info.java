/** Faults common to the stand-ins: failing calls, lost answers and lagging values. */
package org.guavagw.standins.fault;
