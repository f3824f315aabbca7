namespace corkward::substation {}
