/** Faults that the stand-ins share: calls that fail, answers that get lost, values that lag. */
package org.guavagw.standins.fault;
