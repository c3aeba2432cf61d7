//go:build cgo

// A broker reads its settings again on SIGHUP. Go's runtime and the packages take milliseconds to start, in which the
// signal's default action would end the process. So it is ignored from the loading of the program on, until the broker
// catches it; the settings are read after that. Other commands keep the default action.

#include <features.h>
#include <signal.h>
#include <string.h>

#ifdef __GLIBC__ // which passes the arguments to constructors
static void __attribute__((constructor)) ignore_early_hangup(int argc, char **argv, char **environment) {
	(void)environment;
	if (argc > 1 && strcmp(argv[1], "broker") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
#endif
